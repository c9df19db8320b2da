/**
 * Non-cryptographic hashing of short strings, used only to place requests and keys.
 */
/* eslint-disable no-bitwise -- hashing mixes bits */

const FNV_OFFSET_BASIS = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/** A well-mixed 32-bit hash of `text`: FNV-1a followed by the finaliser of MurmurHash3. */
export function hashText(text: string): number {
  let hash = FNV_OFFSET_BASIS;
  for (let index = 0; index < text.length; index += 1) {
    hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME);
  }
  return mixHash(hash);
}

/** A 32-bit hash of two hashes; their order matters. */
export function combineHashes(first: number, second: number): number {
  return mixHash(Math.imul(first, FNV_PRIME) ^ second);
}

/** Spreads the bits of a 32-bit number (finaliser of MurmurHash3). */
function mixHash(value: number): number {
  let hash = value;
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b);
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35);
  return (hash ^ (hash >>> 16)) >>> 0;
}
