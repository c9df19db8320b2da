// A target daemon that stops neither says so nor refuses new work.
const { TargetState } = require('../../../daemon/dist/target/target-state');
const { LinksTask } = require('../../../daemon/dist/target/links-task');

TargetState.prototype.drain = () => {};
LinksTask.prototype.announceLeaving = () => {};
