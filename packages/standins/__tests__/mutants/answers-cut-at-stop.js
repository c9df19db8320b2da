// A planned stop ends the process without waiting for requests in flight.
const { EntryDaemon } = require('../../../daemon/dist/entry/entry');
const { TargetDaemon } = require('../../../daemon/dist/target/target');

EntryDaemon.prototype.stop = async () => {};
TargetDaemon.prototype.stop = async () => {};
