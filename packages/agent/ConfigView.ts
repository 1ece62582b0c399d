import { TargetKind } from "@clementinemux/common/TargetKind";
import type { ConfigChange } from "@clementinemux/fleet/ConfigChange";
import { ConfigChangeKind } from "@clementinemux/fleet/ConfigChangeKind";
import type { FleetConfig } from "@clementinemux/fleet/FleetConfig";
import type { FleetDefaults } from "@clementinemux/fleet/FleetDefaults";
import { createDefaultConfig } from "@clementinemux/fleet/createDefaultConfig";
import type { RenewResponse } from "@clementinemux/messages/RenewResponse";
import type { AgentConfig } from "./AgentConfig";

interface ViewedTarget {
  readonly target: string;
  readonly kind: TargetKind;
  readonly service: string;
}

/** Configuration of one target, updated revision by revision. The revision never decreases. */
export class ConfigView {
  readonly #target: ViewedTarget;
  #config: AgentConfig;

  constructor(target: ViewedTarget) {
    this.#target = target;
    this.#config = this.#read(createDefaultConfig());
  }

  get config(): AgentConfig {
    return this.#config;
  }

  /** Applies a response to `renew`. Returns whether the view has reached the revision of the response. */
  apply({ revision, config, changes }: RenewResponse): boolean {
    if (config !== null && config.revision > this.#config.revision) {
      this.#config = this.#read(config);
    }
    for (const { revision: made, change } of changes) {
      // After a gap, the change is skipped; the next renewal sends the applied revision and gets what is
      // missing.
      if (made === this.#config.revision + 1) {
        this.#config = { ...this.#change(change), revision: made };
      }
    }
    return this.#config.revision === revision;
  }

  #read({ revision, defaults, drains }: FleetConfig): AgentConfig {
    const { target } = this.#target;
    const drain = Object.hasOwn(drains, target) ? (drains[target] ?? null) : null;
    return { revision, drain, ...this.#readDefaults(defaults) };
  }

  #readDefaults({
    permitMaxAgeMs,
    orderMaxAgeMs,
    services,
    groups,
  }: FleetDefaults): Omit<AgentConfig, "revision" | "drain"> {
    const { kind, service } = this.#target;
    const listed = Object.hasOwn(services, service) ? services[service] : undefined;
    return {
      permitMaxAgeMs,
      orderMaxAgeMs,
      repeatable: kind === TargetKind.Engine || listed?.repeatable === true,
      groups,
    };
  }

  #change(change: ConfigChange): AgentConfig {
    const { target } = this.#target;
    if (change.kind === ConfigChangeKind.SetDefaults) {
      return { ...this.#config, ...this.#readDefaults(change.defaults) };
    }
    if (change.kind === ConfigChangeKind.DrainTarget && change.target === target) {
      return { ...this.#config, drain: change.drain };
    }
    if (change.kind === ConfigChangeKind.UndrainTarget && change.target === target) {
      return { ...this.#config, drain: null };
    }
    return this.#config;
  }
}
