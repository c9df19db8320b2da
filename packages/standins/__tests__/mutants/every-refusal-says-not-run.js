// Every refusal has the verdict that the request did not run.
const { Call } = require('../../../daemon/dist/entry/call');

Call.prototype.combine = function combineFalsely(failure) {
  return { ...failure, verdict: 'not-run' };
};
