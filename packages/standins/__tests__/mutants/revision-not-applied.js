// A target daemon confirms every revision but applies only the first one.
const { TargetState } = require('../../../daemon/dist/target/target-state');

const { confirm } = TargetState.prototype;
TargetState.prototype.confirm = function confirmOnly(revision, ageMs, slice) {
  if (this.revision === 0) return confirm.call(this, revision, ageMs, slice);
  return confirm.call(this, this.revision, ageMs, undefined);
};
