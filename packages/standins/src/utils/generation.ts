/**
 * Deterministic text generation for the engine stand-in. The text depends only on the prompt and
 * the seed, so that a checker can tell a complete answer from a truncated, duplicated or mixed one.
 */
import * as decisions from '@azureworks/decisions';

const HASH_RADIX = 36;
const ANSWERS_PER_STRAGGLER = 50;
const STRAGGLER_LENGTH_FACTOR = 6;
const UNIFORM_STEPS = 2 ** 24;

/** The token at `index` of the answer to a prompt with a seed. */
export function generateToken(prompt: string, seed: number, index: number): string {
  return decisions.hashText(`${prompt}|${seed}|${index}`).toString(HASH_RADIX).slice(0, 4);
}

/** The text of an answer from token `startIndex`, inclusive, to token `endIndex`, exclusive. */
export function generateText(
  prompt: string,
  seed: number,
  startIndex: number,
  endIndex: number,
): string {
  const tokens: string[] = [];
  for (let index = startIndex; index < endIndex; index += 1)
    tokens.push(generateToken(prompt, seed, index));
  return tokens.map((token) => `${token} `).join('');
}

/**
 * The length of an answer in tokens, with a heavy-tailed distribution: half of `meanTokens` plus an
 * exponential part of the same mean. One answer in 50 is a straggler that is 6 times as long. No
 * answer exceeds `maximumTokens`.
 */
export function sampleLength(
  prompt: string,
  seed: number,
  meanTokens: number,
  maximumTokens: number,
): number {
  const hash = decisions.hashText(`${prompt}|${seed}|length`);
  const uniform = ((hash % UNIFORM_STEPS) + 1) / (UNIFORM_STEPS + 1);
  const exponential = -Math.log(uniform);
  const isStraggler = hash % ANSWERS_PER_STRAGGLER === 0;
  const length =
    meanTokens * (0.5 + 0.5 * exponential) * (isStraggler ? STRAGGLER_LENGTH_FACTOR : 1);
  return Math.max(1, Math.min(maximumTokens, Math.round(length)));
}
