// A target daemon with a long drain neither announces that it is leaving nor refuses new work.
const { HttpTask } = require('../../../daemon/dist/core/http-task');
const { TargetState } = require('../../../daemon/dist/target/target-state');
const { LinksTask } = require('../../../daemon/dist/target/links-task');

const DRAIN_MS = 4000;

TargetState.prototype.drain = () => {};
LinksTask.prototype.announceLeaving = () => {};

const { stop } = HttpTask.prototype;
HttpTask.prototype.stop = async function stopLate() {
  await new Promise((resolve) => {
    setTimeout(resolve, DRAIN_MS);
  });
  await stop.call(this);
};
