import type { FleetConfig } from "@clementinemux/fleet/FleetConfig";
import { applyConfigChange } from "@clementinemux/fleet/applyConfigChange";
import type { RenewResponse } from "@clementinemux/messages/RenewResponse";

/**
 * Permission of an entry to accept new requests, and the configuration that it applies. Takes the
 * current time as a parameter, in monotonic milliseconds of this process.
 */
export class ServingLease {
  #config: FleetConfig;
  #epoch = 0;
  #validUntilMs = -Infinity;
  #everConfirmed = false;

  constructor(initial: FleetConfig) {
    this.#config = initial;
  }

  get config(): FleetConfig {
    return this.#config;
  }

  /**
   * Applies the response to a renewal that was sent at `sentAtMs`. The lease is counted from the sending
   * time, because at the leader it may have begun any time before the response arrived. Returns whether the
   * configuration changed.
   */
  onRenewed(response: RenewResponse, sentAtMs: number): boolean {
    if (response.epoch < this.#epoch || response.revision < this.#config.revision) {
      // A control replica with older state than this entry cannot confirm anything to it.
      return false;
    }
    const previous = this.#config;
    this.#config = getNextConfig(previous, response);
    if (!response.confirmed || this.#config.revision !== response.revision) {
      return this.#config !== previous;
    }
    this.#epoch = response.epoch;
    this.#everConfirmed = true;
    this.#validUntilMs = Math.max(this.#validUntilMs, sentAtMs + response.leaseMs);
    return this.#config !== previous;
  }

  /**
   * Whether new requests may be accepted. `region` is this entry's, for a `serveWithoutControl` exception.
   */
  isServing(nowMs: number, region: string): boolean {
    return this.#everConfirmed && (nowMs < this.#validUntilMs || this.#mayServeWithoutControl(region));
  }

  #mayServeWithoutControl(region: string): boolean {
    return this.#config.exceptions.some(
      ({ selector, override }) => override.serveWithoutControl === true && selector.region === region,
    );
  }
}

function getNextConfig(current: FleetConfig, { config, changes }: RenewResponse): FleetConfig {
  if (config !== null) {
    return config.revision > current.revision ? config : current;
  }
  let next = current;
  for (const { revision, change } of changes) {
    if (revision === next.revision + 1) {
      next = applyConfigChange(next, change).orDefault(next);
    }
  }
  return next;
}
