// A planned stop does not wait for the answers in flight.
const { HttpTask } = require('../../../daemon/dist/core/http-task');

HttpTask.prototype.stop = async function stopAtOnce() {
  this.server?.close();
  this.server?.closeAllConnections();
};
