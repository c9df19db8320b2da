/**
 * Deterministic text generation for the engine stand-in. The text depends on the prompt and the
 * seed only, so that a checker can tell a whole answer from a cut, doubled or mixed one.
 */
import * as decisions from '@azureworks/decisions';

const HASH_RADIX = 36;
const STRAGGLER_ONE_IN = 50;
const STRAGGLER_FACTOR = 6;
const UNIT = 2 ** 24;

/** The token at `index` of the answer to a prompt under a seed. */
export function makeToken(prompt: string, seed: number, index: number): string {
  return decisions.hashText(`${prompt}|${seed}|${index}`).toString(HASH_RADIX).slice(0, 4);
}

/** The text of an answer from token `from`, inclusive, to token `to`, exclusive. */
export function makeText(prompt: string, seed: number, from: number, to: number): string {
  const tokens: string[] = [];
  for (let index = from; index < to; index += 1) tokens.push(makeToken(prompt, seed, index));
  return tokens.map((token) => `${token} `).join('');
}

/**
 * The length of an answer in tokens: heavy-tailed around `mean`, with one straggler in fifty that
 * is six times as long, and never over `maximum`.
 */
export function drawLength(prompt: string, seed: number, mean: number, maximum: number): number {
  const hash = decisions.hashText(`${prompt}|${seed}|length`);
  const uniform = ((hash % UNIT) + 1) / (UNIT + 1);
  const exponential = -Math.log(uniform);
  const isStraggler = hash % STRAGGLER_ONE_IN === 0;
  const length = mean * (0.5 + 0.5 * exponential) * (isStraggler ? STRAGGLER_FACTOR : 1);
  return Math.max(1, Math.min(maximum, Math.round(length)));
}
