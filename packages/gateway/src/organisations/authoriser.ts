/**
 * Decides for which organisation a request may run, by the key that it carries.
 *
 * An unknown key may have been added a moment ago, so it is refused for good only after a read of the
 * store that was sent after the request arrived; all requests that wait share one read. While the
 * configuration is not confirmed, requests with a key are refused as not run.
 */
import * as decisions from '@azureworks/decisions';
import type * as activeConfigurations from '../configuration/active-configuration';
import type * as configurations from '../types/configuration';
import type * as environments from '../types/environment';
import type * as organisations from '../types/organisation';
import type * as confirmations from './confirmation';
import * as keyRings from './key-ring';

/** Whether a request may run, and for whom: without an authorisation it needs none. */
export type AuthorisationOutcome =
  | { readonly isOk: true; readonly authorisation?: organisations.Authorisation }
  | { readonly isOk: false; readonly failure: decisions.Failure };

export interface AuthoriserOptions {
  readonly environment: Pick<environments.Environment, 'metrics'>;
  readonly configuration: Pick<activeConfigurations.ActiveConfiguration, 'current' | 'isReadable'>;
  readonly confirmation: confirmations.ConfigurationConfirmation;
  /** Takes in all changes of the configuration up to now; returns whether that was possible. */
  readonly catchUp: () => Promise<boolean>;
}

/** When a refused caller may retry: another gateway may know more at once. */
const RETRY_AFTER_MS = 100;

const NOT_NEEDED: AuthorisationOutcome = { isOk: true };

/** Checks the keys of requests. */
export class Authoriser {
  private constructor(private readonly options: AuthoriserOptions) {}

  static create(options: AuthoriserOptions): Authoriser {
    return new Authoriser(options);
  }

  /** Whether this gateway can accept keys now, if the deployment has any. */
  get isAble(): boolean {
    return this.keyRing === undefined || this.isConfirmed;
  }

  private get isConfirmed(): boolean {
    const { confirmation, configuration } = this.options;
    return confirmation.isValid && configuration.isReadable;
  }

  /** Authorises a request on a route. */
  authorise(
    key: string | undefined,
    route: Pick<configurations.Route, 'isPublic'>,
  ): AuthorisationOutcome | Promise<AuthorisationOutcome> {
    if (this.keyRing === undefined || route.isPublic === true) return NOT_NEEDED;
    return this.authoriseKey(key);
  }

  /** Authorises a call about a batch job; without a key it finds only jobs of public routes. */
  authoriseJobCall(key: string | undefined): AuthorisationOutcome | Promise<AuthorisationOutcome> {
    if (this.keyRing === undefined) return NOT_NEEDED;
    const { routes = [] } = this.options.configuration.current ?? {};
    if (key === undefined && routes.some((route) => route.isPublic === true && isRollout(route))) {
      return NOT_NEEDED;
    }
    return this.authoriseKey(key);
  }

  private get keyRing(): organisations.Keys | undefined {
    return this.options.configuration.current?.keyRing;
  }

  private authoriseKey(
    key: string | undefined,
  ): AuthorisationOutcome | Promise<AuthorisationOutcome> {
    if (key === undefined) return this.refuse('unauthorized', 'no key');
    if (!this.isConfirmed) return this.refuseUnconfirmed();
    const digest = keyRings.digestKey(key);
    return this.grant(digest) ?? this.grantAfterRead(digest);
  }

  private async grantAfterRead(digest: keyRings.KeyDigest): Promise<AuthorisationOutcome> {
    const isUpToDate = await this.options.catchUp();
    if (!this.isConfirmed) return this.refuseUnconfirmed();
    const granted = this.grant(digest);
    if (granted) return granted;
    return isUpToDate ? this.refuse('unauthorized', 'unknown key') : this.refuseUnconfirmed();
  }

  private grant(digest: keyRings.KeyDigest): AuthorisationOutcome | undefined {
    const organisation = this.keyRing?.find(digest);
    if (!organisation) return undefined;
    const { name } = organisation;
    const isValid = (): boolean => this.isConfirmed && this.keyRing?.find(digest)?.name === name;
    return { isOk: true, authorisation: { organisation, isValid } };
  }

  private refuseUnconfirmed(): AuthorisationOutcome {
    return this.refuse('revision-unconfirmed', 'keys are not accepted', RETRY_AFTER_MS);
  }

  private refuse(
    code: decisions.ErrorCode,
    detail: string,
    retryAfterMs?: number,
  ): AuthorisationOutcome {
    this.options.environment.metrics.count('keys_refused', { code, reason: detail });
    const options = retryAfterMs === undefined ? { detail } : { detail, retryAfterMs };
    return { isOk: false, failure: decisions.createFailure(code, options) };
  }
}

function isRollout(route: configurations.Route): boolean {
  return route.kind === 'rollout';
}
