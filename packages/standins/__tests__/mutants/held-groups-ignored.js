// The first group that the trainer holds already is ignored, and hence sent again.
const { StepCoordinator } = require('../../../daemon/dist/rollout/step-coordinator');

const { take } = StepCoordinator.prototype;
StepCoordinator.prototype.take = function takeIgnoring(request) {
  return take.call(this, { ...request, held: request.held.slice(1) });
};
