import type { EvacuatedDomains } from "@clementinemux/registry/EvacuatedDomains";
import type { SyncResponse } from "@clementinemux/registry/SyncResponse";
import type { TargetRecord } from "@clementinemux/registry/TargetRecord";
import { isTargetId } from "@clementinemux/registry/isTargetId";
import { RouteTable } from "@clementinemux/routes/RouteTable";
import { matchAddress } from "@clementinemux/wire/matchAddress";
import { EndedTargets } from "./EndedTargets";
import type { FleetState } from "./FleetState";
import type { WireCodec } from "./WireCodec";
import { readRemainingMs } from "./readRemainingMs";

/**
 * Longest time that a gateway serves requests after it sent its last confirmed report. Revoked keys have to
 * stop working within 5 s everywhere; the rest covers the transit of a request and the leader's own lease.
 */
const maxServeAgeMs = 4000;
/** Responses of a coordinator whose state is older than this do not change the list of targets. */
const maxCurrentAgeMs = 1500;

/**
 * A gateway's copy of the document and the list of targets, and the time until which it may be used. Has no
 * I/O.
 */
export class FleetView {
  readonly #codec: WireCodec;
  readonly #ended = new EndedTargets();
  #state: FleetState = {
    table: null,
    targets: [],
    othersInFlight: {},
    othersWaiting: {},
    othersRemainingMs: null,
    slowdowns: {},
    liveEntries: 1,
  };
  #openTargets = new Map<string, TargetRecord[]>();
  #evacuated: EvacuatedDomains = { revision: 0, failureDomains: [] };
  /** Targets that accept requests but are in evacuated failure domains, by service. */
  #evacuatedTargets = new Map<string, TargetRecord[]>();
  #registryState = "";
  #endedListed = 0;
  #confirmedAtMs = -Infinity;

  constructor(codec: WireCodec) {
    this.#codec = codec;
  }

  get state(): FleetState {
    return this.#state;
  }

  get version(): number {
    return this.#state.table?.document.version ?? 0;
  }

  get registryState(): string {
    return this.#registryState;
  }

  /** Number of targets whose end this gateway remembers. */
  get learnedEnds(): number {
    return this.#ended.size;
  }

  /** Targets of the last list that this gateway does not use, since it has learned of their end. */
  get endedListed(): number {
    return this.#endedListed;
  }

  get evacuated(): EvacuatedDomains {
    return this.#evacuated;
  }

  /** Whether all targets of a service that would accept requests are in evacuated failure domains. */
  isEvacuated(service: string): boolean {
    return this.#evacuatedTargets.has(service) && !this.#openTargets.has(service);
  }

  /** Targets of a service that accept requests, except for those in evacuated failure domains. */
  listOpenTargets(service: string): readonly TargetRecord[] {
    return this.#openTargets.get(service) ?? [];
  }

  /** Whether the document is known to be recent enough to serve requests by it. */
  isFresh(nowMs: number): boolean {
    return this.#state.table !== null && this.getAgeMs(nowMs) < maxServeAgeMs;
  }

  /**
   * Time since it was last confirmed that no newer document exists, in ms; infinite before the first
   * confirmation.
   */
  getAgeMs(nowMs: number): number {
    return nowMs - this.#confirmedAtMs;
  }

  /** Targets of a service that accept requests, also those in evacuated failure domains. */
  listReadyTargets(service: string): readonly TargetRecord[] {
    return [...this.listOpenTargets(service), ...(this.#evacuatedTargets.get(service) ?? [])];
  }

  /**
   * Applies the response to a report that was sent at `sentAtMs`. Returns whether the coordinator is useful:
   * its state is confirmed as current, and its document is no older than ours. Throws when the document
   * cannot be decoded.
   */
  update(response: SyncResponse, sentAtMs: number): boolean {
    const { ageMs, documentVersion, document, targets, isComplete, inFlight, paces, liveEntries } = response;
    this.#updateEvacuated(response.evacuated);
    if (document !== null && documentVersion > this.version) {
      const decoded = this.#codec.decodeDocument(document).mapLeft((fault) => new Error(fault));
      this.#state = { ...this.#state, table: new RouteTable(decoded.unsafeCoerce()) };
    }
    if (ageMs === null || documentVersion < this.version || documentVersion === 0) {
      return false;
    }
    const isCurrent = ageMs < maxCurrentAgeMs;
    // A newer document that is still being fetched makes ours outdated.
    if (documentVersion === this.version) {
      this.#confirmedAtMs = Math.max(this.#confirmedAtMs, sentAtMs - ageMs);
    }
    this.#state = {
      ...this.#state,
      othersInFlight: inFlight,
      othersWaiting: response.waiting ?? {},
      othersRemainingMs: readRemainingMs(response),
      slowdowns: paces,
      liveEntries,
    };
    if (isCurrent && targets !== null) {
      for (const incarnation of response.ended ?? []) {
        this.#ended.learnGone(incarnation, sentAtMs);
      }
      this.#updateTargets(targets, isComplete, sentAtMs);
      this.#registryState = isComplete ? response.registryState : "";
    }
    return isCurrent;
  }

  /**
   * A coordinator that has just started does not know every target yet, so known targets are kept unless it
   * lists them as gone. What this gateway has learned of ends holds against every list.
   */
  #updateTargets(targets: readonly TargetRecord[], isComplete: boolean, nowMs: number): void {
    // Coordinators of earlier releases also list targets whose id or address cannot be used.
    const listed = targets.filter(
      ({ id, isGone, address }) => !isGone && isTargetId(id) && matchAddress(address) !== null,
    );
    const present = listed.flatMap((target) => this.#ended.check(target, nowMs) ?? []);
    const listedOpen = listed.filter(({ isDraining }) => !isDraining);
    this.#endedListed = listedOpen.length - present.filter(({ isDraining }) => !isDraining).length;
    const listedBornMs = new Map(targets.map(({ id, bornMs }) => [id, bornMs]));
    const addresses = new Set(present.map(({ address }) => address));
    const kept = isComplete
      ? []
      : this.#state.targets
          .filter(
            ({ id, address, bornMs }) =>
              (listedBornMs.get(id) ?? -Infinity) < bornMs && !addresses.has(address),
          )
          .flatMap((target) => this.#ended.check(target, nowMs) ?? []);
    const keptIds = new Set(kept.map(({ id }) => id));
    this.#state = { ...this.#state, targets: [...present.filter(({ id }) => !keptIds.has(id)), ...kept] };
    this.#splitTargets();
  }

  /** The highest revision counts: a coordinator that lags, or one of an earlier release, does not take an evacuation back. */
  #updateEvacuated(evacuated: EvacuatedDomains | undefined): void {
    if (evacuated !== undefined && evacuated.revision > this.#evacuated.revision) {
      this.#evacuated = evacuated;
      this.#splitTargets();
    }
  }

  /** Sorts the targets that accept requests by service, and by whether their failure domain is evacuated. */
  #splitTargets(): void {
    const failureDomains = new Set(this.#evacuated.failureDomains);
    const open = this.#state.targets.filter(({ isDraining, isLeaving }) => !isDraining && !isLeaving);
    const isEvacuated = ({ failureDomain }: TargetRecord): boolean => failureDomains.has(failureDomain);
    this.#openTargets = groupByService(open.filter((target) => !isEvacuated(target)));
    this.#evacuatedTargets = groupByService(open.filter(isEvacuated));
  }
}

function groupByService(targets: readonly TargetRecord[]): Map<string, TargetRecord[]> {
  const groups = new Map<string, TargetRecord[]>();
  for (const target of targets) {
    const known = groups.get(target.service);
    if (known === undefined) {
      groups.set(target.service, [target]);
    } else {
      known.push(target);
    }
  }
  return groups;
}
