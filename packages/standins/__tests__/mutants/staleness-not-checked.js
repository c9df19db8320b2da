// Samples of any staleness are delivered to the trainer.
const staleness = require('../../../decisions/dist/core/staleness');

staleness.measureStaleness = () => 0;
staleness.isRunTooStale = () => false;
