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
    this.#config = this.#selectConfig(createDefaultConfig());
  }

  get config(): AgentConfig {
    return this.#config;
  }

  /** Applies a response to `renew`. Returns whether the view has reached the revision of the response. */
  apply({ revision, config, changes }: RenewResponse): boolean {
    if (config !== null && config.revision > this.#config.revision) {
      this.#config = this.#selectConfig(config);
    }
    for (const { revision: changeRevision, change } of changes) {
      // After a gap, the change is skipped; the next renewal sends the applied revision and gets what is
      // missing.
      if (changeRevision === this.#config.revision + 1) {
        this.#config = { ...this.#applyChange(change), revision: changeRevision };
      }
    }
    return this.#config.revision === revision;
  }

  #selectConfig({ revision, defaults, drains }: FleetConfig): AgentConfig {
    const { target } = this.#target;
    const drain = Object.hasOwn(drains, target) ? (drains[target] ?? null) : null;
    return { revision, drain, ...this.#selectDefaults(defaults) };
  }

  #selectDefaults({
    permitMaxAgeMs,
    orderMaxAgeMs,
    services,
    groups,
  }: FleetDefaults): Omit<AgentConfig, "revision" | "drain"> {
    const { kind, service } = this.#target;
    const serviceDefaults = Object.hasOwn(services, service) ? services[service] : undefined;
    return {
      permitMaxAgeMs,
      orderMaxAgeMs,
      repeatable: kind === TargetKind.Engine || serviceDefaults?.repeatable === true,
      groups,
    };
  }

  #applyChange(change: ConfigChange): AgentConfig {
    const { target } = this.#target;
    if (change.kind === ConfigChangeKind.SetDefaults) {
      return { ...this.#config, ...this.#selectDefaults(change.defaults) };
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
