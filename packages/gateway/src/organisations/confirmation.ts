/**
 * How long ago the store confirmed that this gateway knows the newest configuration.
 *
 * A key that was taken away must not be accepted for longer than the revocation time, also by a gateway that
 * is cut off from the store, or that was suspended and does not know it yet. A read of the store confirms
 * what is in force at the time when the read was sent. Without such a read for a share of the revocation time
 * the configuration counts as unconfirmed; a suspension ends the confirmation at once.
 */
import * as validity from '../core/validity';
import type * as environments from '../types/environment';

/**
 * Share of the revocation time for which a confirmation counts. The rest covers suspensions that are too
 * short to be detected.
 */
const VALIDITY_SHARE = 0.8;
/** Longest wait for changes of the configuration, as a share of the revocation time. */
const WAIT_SHARE = 0.2;

/** The confirmation of the configuration of one gateway. */
export class ConfigurationConfirmation {
  private readonly validity: validity.Validity;

  private confirmedMs = -Infinity;

  private constructor(
    private readonly clocks: Pick<environments.Environment, 'nowMs' | 'wallClockMs'>,
    private readonly revocationMs: number | undefined,
  ) {
    this.validity = validity.Validity.create(clocks);
  }

  /** @param revocationMs within which a key must be out of force; undefined: it may stay in force */
  static create(
    clocks: Pick<environments.Environment, 'nowMs' | 'wallClockMs'>,
    revocationMs: number | undefined,
  ): ConfigurationConfirmation {
    return new ConfigurationConfirmation(clocks, revocationMs);
  }

  /** Whether keys may be accepted by the configuration that is known. */
  get isValid(): boolean {
    return this.revocationMs === undefined || this.validity.currentTerm !== undefined;
  }

  /** Milliseconds since the last read that confirmed the configuration was sent. */
  get ageMs(): number {
    return this.clocks.nowMs() - this.confirmedMs;
  }

  /** The longest wait for changes of the configuration; undefined when nothing limits it. */
  get maximumWaitMs(): number | undefined {
    return this.revocationMs === undefined ? undefined : this.revocationMs * WAIT_SHARE;
  }

  /**
   * To be called before a read of the configuration is sent.
   * @returns to be called when the gateway has taken in what the read returned
   */
  begin(): () => void {
    const start = this.validity.startRenewal();
    return () => {
      this.confirmedMs = Math.max(this.confirmedMs, start.sentMs);
      if (this.revocationMs === undefined) return;
      this.validity.completeRenewal(start, this.revocationMs * VALIDITY_SHARE);
    };
  }
}
