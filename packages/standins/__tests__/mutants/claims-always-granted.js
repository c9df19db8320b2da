// Every claim is granted, even if another entry holds it already.
const { Claim } = require('../../../daemon/dist/entry/claims');

Claim.prototype.acquire = async () => ({ kind: 'granted' });
