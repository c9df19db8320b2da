// A change is accepted although another operator changed the same file since its base revision.
const change = require('../../../decisions/dist/core/change');

change.findConflict = () => undefined;
