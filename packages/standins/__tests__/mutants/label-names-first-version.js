// A label names only the first version that produced part of the answer.
const { StreamJoiner } = require('../../../daemon/dist/entry/stream-joiner');

const { summarize } = StreamJoiner.prototype;
StreamJoiner.prototype.summarize = function summarizeFirst() {
  return { ...summarize.call(this), weightVersions: [this.readFirstVersion()] };
};
