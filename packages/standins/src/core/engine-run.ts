/**
 * One completion at the engine stand-in: its request, progress and outcome.
 */
import type * as http from 'node:http';
import * as zod from 'zod';
import * as generation from '../utils/generation';
import * as server from './standin-server';

/** Body of a completion request. */
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

/** A validated completion request. */
export type CompletionRequest = zod.infer<typeof completionSchema>;

/** A running or finished completion. */
export interface CompletionRun {
  readonly requestId: string;
  readonly attempt: string;
  readonly request: CompletionRequest;
  readonly totalTokens: number;
  readonly response: http.ServerResponse;
  /** Number of tokens that the client already holds; larger than 0 for a resumed answer. */
  readonly startToken: number;
  /** Index of the next token to generate. */
  position: number;
  readonly weightVersions: Set<number | null>;
  /** Wall-clock time of arrival, in milliseconds. */
  readonly arrivedMs: number;
  outcome: 'queued' | 'running' | 'finished' | 'cancelled' | 'crashed';
  text: string;
}

/** Sends the summary and ends the response. */
export function finishResponse(run: CompletionRun): void {
  const summary = {
    finish_reason: 'stop',
    weight_versions: [...run.weightVersions],
    completion_tokens: run.position - run.startToken,
    total_tokens: run.position,
  };
  if (run.request.stream) {
    run.response.end(`event: summary\ndata: ${JSON.stringify(summary)}\n\ndata: [DONE]\n\n`);
    return;
  }
  server.sendJson(run.response, 200, { text: run.text, ...summary });
}

/** Creates the run of a validated request. */
export function createRun(call: server.Call, completion: CompletionRequest): CompletionRun {
  const { headers } = call.request;
  const { prompt, seed, max_tokens: maximumTokens, mean_tokens: meanTokens } = completion;
  const startToken = Number(headers['last-event-id'] ?? 0);
  return {
    requestId: String(headers['idempotency-key'] ?? ''),
    attempt: String(headers['x-azureworks-attempt'] ?? ''),
    request: completion,
    totalTokens: meanTokens
      ? generation.sampleLength(prompt, seed, meanTokens, maximumTokens)
      : maximumTokens,
    response: call.response,
    startToken,
    position: startToken,
    weightVersions: new Set(),
    arrivedMs: Date.now(),
    outcome: 'queued',
    text: completion.stream ? '' : generation.generateText(prompt, seed, 0, startToken),
  };
}
