/**
 * The HTTP API of trainers: submit a step, take samples, announce new weights.
 *
 * A request for samples carries the trainer's weight version, at which the trainer stays until it
 * has the response. The staleness bound holds for that version, or for a later one if this entry
 * knew of it when it responded.
 */
import type * as http from 'node:http';
import * as decisions from '@azureworks/decisions';
import * as zod from 'zod';
import * as failureResponses from '../core/failure-response';
import * as httpTask from '../core/http-task';
import type * as configurationTask from '../entry/configuration-task';
import type * as rolloutTask from './rollout-task';
import type * as weightsTask from './weights-task';

export interface TrainerApiOptions {
  readonly http: httpTask.HttpTask;
  readonly configuration: configurationTask.ConfigurationTask;
  readonly rollout: rolloutTask.RolloutTask;
  readonly weights: weightsTask.WeightsTask;
  isDraining(): boolean;
}

const nameSchema = zod.string().regex(/^[\w-]{1,64}$/);
const countSchema = zod.number().int().min(0);

const stepSchema = zod.object({
  step: nameSchema,
  deadline_ms: zod.number().int().min(1000).max(3_600_000).default(840_000),
  groups: zod
    .array(
      zod.object({
        group: nameSchema,
        prompt: zod.string().min(1),
        members: zod.number().int().min(1).max(1024),
        max_tokens: zod.number().int().min(1).max(100_000),
        mean_tokens: zod.number().int().min(1).optional(),
      }),
    )
    .min(1)
    .max(20_000),
});

const takeSchema = zod.object({
  held: zod.array(nameSchema).max(20_000),
  version: countSchema,
  maximum_groups: zod.number().int().min(1).max(1000).default(16),
  wait_ms: zod.number().int().min(0).max(30_000).default(5000),
});

const weightsSchema = zod.object({ version: countSchema });

/** Largest bodies: a step has its prompts, the others names and numbers only. */
const MAXIMUM_STEP_BYTES = 16 * 1024 * 1024;
const MAXIMUM_TAKE_BYTES = 4 * 1024 * 1024;
const MAXIMUM_WEIGHTS_BYTES = 64 * 1024;
const OK = 200;
const ACCEPTED = 202;

/** Serves the requests of trainers. */
export class TrainerApi {
  private constructor(private readonly options: TrainerApiOptions) {
    this.add('/v1/trainers/:trainer/steps', (request, response) => this.submit(request, response));
    this.add('/v1/trainers/:trainer/steps/:step/take', (request, response) =>
      this.take(request, response),
    );
    this.add('/v1/trainers/:trainer/weights', (request, response) =>
      this.announce(request, response),
    );
  }

  static create(options: TrainerApiOptions): TrainerApi {
    return new TrainerApi(options);
  }

  private add(path: string, handler: httpTask.Handler): void {
    this.options.http.add('post', path, (request, response) => {
      const refusal = this.findRefusal(request.params.trainer);
      if (!refusal) return handler(request, response);
      return this.options.http.bodies.refuse(request, response, refusal);
    });
  }

  /** What the head of a request tells against it, before its body is read. */
  private findRefusal(trainer: string): decisions.Failure | undefined {
    const { isDraining, configuration } = this.options;
    if (isDraining()) return decisions.createFailure('draining');
    if (!configuration.isConfirmed()) return decisions.createFailure('revision-unconfirmed');
    if (configuration.current.configuration.trainers.has(trainer)) return undefined;
    return decisions.createFailure('unknown-trainer', { detail: `"${trainer.slice(0, 100)}"` });
  }

  private async submit(
    request: httpTask.RoutedRequest,
    response: http.ServerResponse,
  ): Promise<void> {
    const { bodies } = this.options.http;
    const parsed = await bodies.readJson(request, response, MAXIMUM_STEP_BYTES, stepSchema);
    if (!parsed) return;
    if (parsed.isErr()) {
      failureResponses.sendFailure(response, parsed.error);
      return;
    }
    const { step, deadline_ms: deadlineMs, groups } = parsed.value;
    const result = this.options.rollout.submit({
      trainer: request.params.trainer,
      step,
      deadlineMs,
      groups: groups.map((group) => ({
        group: group.group,
        prompt: group.prompt,
        members: group.members,
        maximumTokens: group.max_tokens,
        ...(group.mean_tokens && { meanTokens: group.mean_tokens }),
      })),
    });
    if (result.isErr()) failureResponses.sendFailure(response, result.error);
    else failureResponses.sendJson(response, ACCEPTED, { step, groups: groups.length });
  }

  private async take(
    request: httpTask.RoutedRequest,
    response: http.ServerResponse,
  ): Promise<void> {
    const { bodies } = this.options.http;
    const parsed = await bodies.readJson(request, response, MAXIMUM_TAKE_BYTES, takeSchema);
    if (!parsed) return;
    if (parsed.isErr()) {
      failureResponses.sendFailure(response, parsed.error);
      return;
    }
    const { trainer, step } = request.params;
    const { held, version, maximum_groups: maximumGroups, wait_ms: waitMs } = parsed.value;
    const result = await this.options.rollout.take(trainer, step, {
      held,
      version,
      maximumGroups,
      waitMs,
    });
    if (result.isErr()) {
      failureResponses.sendFailure(response, result.error);
      return;
    }
    const { groups, remaining } = result.value;
    failureResponses.sendJson(response, OK, {
      remaining,
      groups: groups.map(({ group, samples }) => ({
        group,
        samples: samples.map((sample) => ({
          id: sample.id,
          text: sample.text,
          tokens: sample.tokens,
          weight_versions: sample.weightVersions,
          ...(sample.score !== undefined && { score: sample.score }),
        })),
      })),
    });
  }

  private async announce(
    request: httpTask.RoutedRequest,
    response: http.ServerResponse,
  ): Promise<void> {
    const { bodies } = this.options.http;
    const parsed = await bodies.readJson(request, response, MAXIMUM_WEIGHTS_BYTES, weightsSchema);
    if (!parsed) return;
    if (parsed.isErr()) {
      failureResponses.sendFailure(response, parsed.error);
      return;
    }
    const { version } = parsed.value;
    const result = await this.options.weights.announce(request.params.trainer, version);
    if (result.isErr()) failureResponses.sendFailure(response, result.error);
    else failureResponses.sendJson(response, ACCEPTED, { version });
  }
}
