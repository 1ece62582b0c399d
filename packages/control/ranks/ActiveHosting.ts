import type { Clock } from "@clementinemux/common/Clock";
import { createRoundRobinHosting } from "@clementinemux/experts/hold/createRoundRobinHosting";
import type { RankHoldState } from "@clementinemux/experts/hold/RankHoldState";
import type { DesiredMap } from "@clementinemux/experts/hold/DesiredMap";
import type { RankHosting } from "@clementinemux/experts/hold/RankHosting";
import { InspectionPart } from "@clementinemux/ranker/InspectionPart";
import type { RankChannel } from "@clementinemux/ranker/RankChannel";

interface ActiveHostingOptions {
  readonly layerSets: number;
  readonly expertsPerSet: number;
  /** Term of the leader. */
  readonly term: number;
  readonly clock: Clock;
}

type Links = readonly (RankChannel | null)[];

/**
 * Time between two direct reads of expert lists. The platform charges for each, and each pauses the group.
 */
const directReadIntervalMs = 1000;

/** Active placement of a group, read from its ranks unless this leader has activated it itself. */
export class ActiveHosting {
  readonly #options: ActiveHostingOptions;
  #active: DesiredMap | null = null;
  #readAtMs = -Infinity;

  constructor(options: ActiveHostingOptions) {
    this.#options = options;
  }

  /** Records a map that has become active. */
  setActive(map: DesiredMap): void {
    this.#active = map;
  }

  /**
   * Resolves with null when the placement cannot be read now. `states` are those of the known ranks. The same
   * map is returned as the same object, so that callers can compare by identity.
   */
  async read(states: readonly RankHoldState[], links: Links): Promise<RankHosting | null> {
    const { mapVersion = 0, epoch = 0 } = states[0] ?? {};
    if (states.some((state) => state.mapVersion !== mapVersion || state.epoch !== epoch)) {
      return null;
    }
    if (this.#active?.epoch === epoch && this.#active.version === mapVersion) {
      return this.#active.hosting;
    }
    const { layerSets, expertsPerSet } = this.#options;
    const hosting =
      mapVersion === 0
        ? createRoundRobinHosting(layerSets, expertsPerSet, links.length)
        : await this.#fetch(mapVersion, links, states.length < links.length);
    if (hosting !== null) {
      this.#active = { epoch, version: mapVersion, hosting };
    }
    return hosting;
  }

  /** Reads the placement of a version; null when a rank does not respond or has another version by now. */
  async #fetch(version: number, links: Links, isDirect: boolean): Promise<RankHosting | null> {
    const nowMs = this.#options.clock.monotonicMs();
    if (isDirect && nowMs - this.#readAtMs < directReadIntervalMs) {
      return null;
    }
    this.#readAtMs = isDirect ? nowMs : this.#readAtMs;
    const experts = await Promise.all(links.map((channel) => this.#readExperts(version, channel, isDirect)));
    return experts.includes(null)
      ? null
      : Array.from({ length: this.#options.layerSets }, (_, set) => experts.map((held) => held?.[set] ?? []));
  }

  async #readExperts(
    version: number,
    channel: RankChannel | null,
    isDirect: boolean,
  ): Promise<readonly (readonly number[])[] | null> {
    const inspection = (await channel?.inspect(this.#options.term, InspectionPart.Experts)) ?? null;
    if (inspection === null) {
      return isDirect ? ((await channel?.readActiveExpertsDirectly(version)) ?? null) : null;
    }
    return inspection.state.mapVersion === version ? inspection.experts : null;
  }
}
