/**
 * One completion at the engine stand-in: what was asked, how far it is and how it ended.
 */
import type * as http from 'node:http';
import * as zod from 'zod';
import * as generation from '../utils/generation';
import * as server from './standin-server';

/** What a caller of the engine may ask for. */
export const completionSchema = zod.object({
  model: zod.string().optional(),
  prompt: zod.string(),
  prefix: zod.string().optional(),
  seed: zod.number().int().default(0),
  max_tokens: zod.number().int().min(1).max(100_000).default(64),
  mean_tokens: zod.number().int().min(1).optional(),
  priority: zod.number().int().default(1),
  stream: zod.boolean().default(true),
  resume_text: zod.string().optional(),
});

/** A checked request. */
export type Completion = zod.infer<typeof completionSchema>;

/** A completion under way or over. */
export interface Run {
  readonly requestId: string;
  readonly attempt: string;
  readonly completion: Completion;
  readonly length: number;
  readonly response: http.ServerResponse;
  readonly startToken: number;
  position: number;
  readonly versions: Set<number | null>;
  /** Wall-clock time of arrival, in milliseconds. */
  readonly arrivedMs: number;
  outcome: 'queued' | 'running' | 'finished' | 'cancelled' | 'crashed';
  text: string;
}

/** Sends the summary and ends the answer. */
export function finish(run: Run): void {
  const summary = {
    finish_reason: 'stop',
    weight_versions: [...run.versions],
    completion_tokens: run.position - run.startToken,
    total_tokens: run.position,
  };
  if (run.completion.stream) {
    run.response.end(`event: summary\ndata: ${JSON.stringify(summary)}\n\ndata: [DONE]\n\n`);
    return;
  }
  server.sendJson(run.response, 200, { text: run.text, ...summary });
}

/** Opens a completion for a request. */
export function createRun(call: server.Call, completion: Completion): Run {
  const { headers } = call.request;
  const { prompt, seed, max_tokens: maximum, mean_tokens: mean } = completion;
  const startToken = Number(headers['last-event-id'] ?? 0);
  return {
    requestId: String(headers['idempotency-key'] ?? ''),
    attempt: String(headers['x-azureworks-attempt'] ?? ''),
    completion,
    length: mean ? generation.drawLength(prompt, seed, mean, maximum) : maximum,
    response: call.response,
    startToken,
    position: startToken,
    versions: new Set(),
    arrivedMs: Date.now(),
    outcome: 'queued',
    text: completion.stream ? '' : generation.makeText(prompt, seed, 0, startToken),
  };
}
