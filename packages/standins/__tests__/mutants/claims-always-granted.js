// Every entry may hand a request over, whoever else did.
const { Claim } = require('../../../daemon/dist/entry/claims');

Claim.prototype.acquire = async () => ({ kind: 'granted' });
