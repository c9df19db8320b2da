import * as decisions from '@azureworks/decisions';
import type * as gateway from '@azureworks/gateway';
import type * as runtime from '@azureworks/runtime';
import type * as activeConfigurations from '../src/configuration/active-configuration';
import * as permitRequesters from '../src/limits/permit-requester';
import * as rateLimits from '../src/limits/rate-limits';
import type * as permitIssuers from '../src/limits/permit-issuer';
import * as requestQuarantines from '../src/quarantine/request-quarantine';
import * as forwarders from '../src/requests/forwarder';
import * as plannedStops from '../src/requests/planned-stop';
import * as fakeReplicas from './support/fake-replicas';
import * as plainDirectories from './support/plain-directory';
import * as systems from './support/test-system';
import * as time from './support/virtual-time';

/** Records all log lines. */
class RecordingLog implements runtime.Log {
  readonly lines: Record<string, unknown>[] = [];

  info(message: string, fields: runtime.LogFields = {}): void {
    this.lines.push({ message, ...fields });
  }

  warn(message: string, fields: runtime.LogFields = {}): void {
    this.info(message, fields);
  }
}

describe('the log of a request', () => {
  beforeEach(() => {
    jest.useFakeTimers();
  });

  afterEach(() => {
    jest.useRealTimers();
  });

  it('shows for a request past its deadline which replica was slow and which time limit applied', async () => {
    const log = new RecordingLog();
    const environment = { ...time.createEnvironment('vm'), log };
    const configuration = systems.createConfiguration(7);
    const route = { ...configuration.routes[1], timeoutMs: 400, maximumAttempts: 1 };
    const directory = plainDirectories.createDirectory(environment, ['slow']);
    const replicas = fakeReplicas.FakeReplicas.create();
    replicas.getBehaviour('slow').answerMs = 10_000;
    const configurationKeeper = {
      current: configuration,
    } as activeConfigurations.ActiveConfiguration;
    const quarantine = requestQuarantines.RequestQuarantine.create({
      environment,
      quarantine: decisions.Quarantine.create({ nowMs: time.nowMs }),
      trials: time.NO_TRIALS,
      reporter: { report: () => {}, withdraw: () => {}, flush: () => Promise.resolve() },
      directory,
      replicaClient: replicas,
      storeNowMs: time.nowMs,
      callerHeaders: [],
    });
    const forwarder = forwarders.Forwarder.create({
      environment,
      configuration: configurationKeeper,
      directory,
      replicaClient: replicas,
      quarantine,
      permits: permitRequesters.PermitRequester.create({
        environment,
        limits: rateLimits.RateLimits.create(environment),
        issuer: {} as permitIssuers.PermitIssuer,
        peers: { requestPermits: () => Promise.resolve(undefined) },
        listIssuers: () => [],
      }),
      origins: { find: () => Promise.resolve(undefined), record: () => {} },
      plannedStop: plannedStops.PlannedStop.create(time.nowMs),
    });
    const caller: gateway.CallerRequest = {
      request: {
        id: 'attempt',
        method: 'POST',
        target: '/plain/x',
        host: 'h',
        headers: [],
        body: Buffer.alloc(0),
      },
      path: '/plain/x',
      deadlineMs: 3000,
      receivedMs: time.nowMs(),
      signal: new AbortController().signal,
      afterEvent: undefined,
    };
    forwarder.forward(caller, route);
    await time.advance(500);
    const lines = log.lines.filter((line) => line.request === 'attempt');
    expect(lines).toContainEqual({
      message: 'call given up',
      request: 'attempt',
      replica: 'slow',
      tookMs: 400,
    });
    expect(lines).toContainEqual(
      expect.objectContaining({
        message: 'request answered',
        outcome: 'deadline-exceeded',
        tookMs: 400,
        deadlineMs: 3000,
        timeoutMs: 400,
        configuration: 7,
      }),
    );
  });
});
