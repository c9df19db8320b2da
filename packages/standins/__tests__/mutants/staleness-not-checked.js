// Samples of any age are handed over.
const staleness = require('../../../decisions/dist/core/staleness');

staleness.measureStaleness = () => 0;
staleness.isRunTooStale = () => false;
