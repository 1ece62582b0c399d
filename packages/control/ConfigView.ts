import type { FleetConfig } from "@clementinemux/fleet/FleetConfig";
import { applyConfigChange } from "@clementinemux/fleet/applyConfigChange";
import { createDefaultConfig } from "@clementinemux/fleet/createDefaultConfig";
import type { RenewResponse } from "@clementinemux/messages/RenewResponse";
import type { RevisionChange } from "@clementinemux/messages/RevisionChange";
import { getConfigSizeBytes } from "./getConfigSizeBytes";

const maxStoredChanges = 1000;
// Instead of a longer list of changes the whole configuration is sent, to keep the frame below its limit.
const maxSentBytes = 400_000;
// A larger configuration does not fit into one frame of 1 MiB with the rest of the message.
const maxWholeBytes = 900_000;

type Missing = Pick<RenewResponse, "changes" | "config" | "inParts">;

/** Copy of the configuration that follows the leader's revisions and never goes back to an earlier one. */
export class ConfigView {
  #config = createDefaultConfig();
  #changes: RevisionChange[] = [];

  get config(): FleetConfig {
    return this.#config;
  }

  /**
   * Applies the response to a renewal. Returns whether the view now has the response's revision or a later
   * one.
   */
  update({ changes, config, revision }: Pick<RenewResponse, "changes" | "config" | "revision">): boolean {
    if (config !== null && config.revision > this.#config.revision) {
      this.#config = config;
      this.#changes = [];
    }
    for (const item of changes) {
      if (item.revision === this.#config.revision + 1) {
        applyConfigChange(this.#config, item.change).ifRight((next) => {
          this.#config = next;
          this.#changes.push(item);
        });
      }
    }
    this.#changes = this.#changes.slice(-maxStoredChanges);
    return this.#config.revision >= revision;
  }

  /**
   * Returns what a holder of `appliedRevision` lacks: the changes, or everything when they are no longer
   * stored.
   */
  getMissing(appliedRevision: number): Missing {
    return ConfigView.selectMissing(this.#config, this.#changes, appliedRevision);
  }

  static selectMissing(
    config: FleetConfig,
    held: readonly RevisionChange[],
    appliedRevision: number,
  ): Missing {
    if (appliedRevision >= config.revision) {
      return { changes: [], config: null };
    }
    const changes = held
      .filter(({ revision }) => revision > appliedRevision)
      .map(({ revision, change }) => ({ revision, change }));
    const isComplete = changes[0]?.revision === appliedRevision + 1;
    if (isComplete && JSON.stringify(changes).length <= maxSentBytes) {
      return { changes, config: null };
    }
    return getConfigSizeBytes(config) <= maxWholeBytes
      ? { changes: [], config }
      : { changes: [], config: null, inParts: true };
  }
}
