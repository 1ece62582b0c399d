import { decode, encode } from "cbor-x";
import { ConfigChangeKind } from "@clementinemux/fleet/ConfigChangeKind";
import type { ConfigChange } from "@clementinemux/fleet/ConfigChange";
import type { FleetConfig } from "@clementinemux/fleet/FleetConfig";
import { applyConfigChange } from "@clementinemux/fleet/applyConfigChange";
import { createDefaultConfig } from "@clementinemux/fleet/createDefaultConfig";
import type { DecideMapRequest } from "@clementinemux/messages/DecideMapRequest";
import type { DecideMapResponse } from "@clementinemux/messages/DecideMapResponse";
import type { GroupLeaseRequest } from "@clementinemux/messages/GroupLeaseRequest";
import { ProposeOutcome } from "@clementinemux/messages/ProposeOutcome";
import type { ProposeRequest } from "@clementinemux/messages/ProposeRequest";
import type { ProposeResponse } from "@clementinemux/messages/ProposeResponse";
import type { ConfigCommand } from "./ConfigCommand";
import { ConfigCommandKind } from "./ConfigCommandKind";
import type { GroupLeaseRecord } from "./GroupLeaseRecord";
import type { HistoryRecord } from "./HistoryRecord";
import type { StateMachine } from "./StateMachine";
import { decideMap } from "./decideMap";
import { getConfigSizeBytes } from "./getConfigSizeBytes";
import { getContentDigest } from "./getContentDigest";

interface RequestRecord {
  readonly author: string;
  readonly digest: string;
  readonly response: ProposeResponse;
  readonly atMs: number;
}

const maxHistory = 1000;
const requestRetentionMs = 24 * 3_600_000;
// Allows for an exception with a reason of full length, 1.6 kB, for each of 4,100 teams, which takes 6.6 MB.
const maxConfigBytes = 8_388_608;

/**
 * State machine of the `config` group: configuration, results of operators' requests, group leases, map
 * decisions.
 */
export class ConfigStateMachine implements StateMachine {
  #config = createDefaultConfig();
  #history: HistoryRecord[] = [];
  #requests = new Map<string, RequestRecord>();
  #groups = new Map<string, GroupLeaseRecord>();
  #nowMs = 0;

  get config(): FleetConfig {
    return this.#config;
  }

  /** Accepted changes that are still stored, oldest first. */
  get history(): readonly HistoryRecord[] {
    return this.#history;
  }

  getGroup(group: string): GroupLeaseRecord | null {
    return this.#groups.get(group) ?? null;
  }

  apply(command: unknown): unknown {
    const known = command as ConfigCommand;
    switch (known.kind) {
      case ConfigCommandKind.Propose:
        this.#advanceTime(known.nowMs);
        return this.#propose(known.request);
      case ConfigCommandKind.ExpireException:
        this.#advanceTime(known.nowMs);
        return this.#expire(known.exceptionId, known.expiresAtMs);
      case ConfigCommandKind.GroupLease:
        return this.#grantLease(known.request, known.endedEpoch);
      case ConfigCommandKind.DecideMap:
        return this.#decideMap(known.request);
    }
  }

  createSnapshot(): Uint8Array {
    return encode({
      config: this.#config,
      history: this.#history,
      requests: [...this.#requests],
      groups: [...this.#groups],
      nowMs: this.#nowMs,
    });
  }

  restore(snapshot: Uint8Array): void {
    const state = decode(snapshot) as {
      config: FleetConfig;
      history: HistoryRecord[];
      requests: [string, RequestRecord][];
      groups: [string, GroupLeaseRecord][];
      nowMs: number;
    };
    this.#config = state.config;
    this.#history = state.history;
    this.#requests = new Map(state.requests);
    this.#groups = new Map(state.groups);
    this.#nowMs = state.nowMs;
  }

  /** Keeps the time monotonic across leaders with different clocks. Requests are stored in order of time. */
  #advanceTime(nowMs: number): void {
    this.#nowMs = Math.max(this.#nowMs, nowMs);
    for (const [id, { atMs }] of this.#requests) {
      if (atMs + requestRetentionMs > this.#nowMs) {
        break;
      }
      this.#requests.delete(id);
    }
  }

  #propose(request: ProposeRequest): ProposeResponse {
    const { author, requestId, baseRevision, change } = request;
    const digest = getContentDigest({ baseRevision, change });
    const earlier = this.#requests.get(requestId);
    if (earlier !== undefined) {
      return earlier.author === author && earlier.digest === digest
        ? earlier.response
        : this.#createResponse(
            ProposeOutcome.RequestIdReused,
            `request id "${requestId}" was used for another change`,
          );
    }
    const response = this.#evaluate(author, baseRevision, change);
    if (response.outcome !== ProposeOutcome.Invalid) {
      this.#requests.set(requestId, { author, digest, response, atMs: this.#nowMs });
    }
    return response;
  }

  #evaluate(author: string, baseRevision: number, change: ConfigChange): ProposeResponse {
    const { revision } = this.#config;
    if (baseRevision > revision) {
      return this.#createResponse(ProposeOutcome.Invalid, `base revision ${baseRevision} does not exist yet`);
    }
    if (baseRevision < revision) {
      const winner = this.#history.find((record) => record.revision === baseRevision + 1);
      const message = `revision ${baseRevision} is no longer current, the current one is ${revision}`;
      return {
        ...this.#createResponse(ProposeOutcome.Conflict, message),
        winner: winner === undefined ? null : { revision: winner.revision, change: winner.change },
        winnerAuthor: winner?.author ?? null,
      };
    }
    return applyConfigChange(this.#config, change).caseOf({
      Left: (why) => this.#createResponse(ProposeOutcome.Invalid, why),
      Right: (config) => {
        const sizeBytes = getConfigSizeBytes(config);
        if (sizeBytes > maxConfigBytes) {
          const why = `the configuration would have ${sizeBytes} bytes, the limit is ${maxConfigBytes}`;
          return this.#createResponse(ProposeOutcome.Invalid, why);
        }
        this.#accept(config, author, change);
        return this.#createResponse(ProposeOutcome.Accepted, "");
      },
    });
  }

  #accept(config: FleetConfig, author: string, change: ConfigChange): void {
    this.#config = config;
    this.#history.push({ revision: config.revision, change, author, atMs: this.#nowMs });
    this.#history = this.#history.slice(-maxHistory);
  }

  #createResponse(outcome: ProposeOutcome, message: string): ProposeResponse {
    return { outcome, revision: this.#config.revision, winner: null, winnerAuthor: null, message };
  }

  #expire(exceptionId: string, expiresAtMs: number): boolean {
    const known = this.#config.exceptions.find(({ id }) => id === exceptionId);
    // An exception with the same id may have been added again with another expiry.
    if (known?.expiresAtMs !== expiresAtMs || expiresAtMs > this.#nowMs) {
      return false;
    }
    const change = { kind: ConfigChangeKind.RemoveException as const, exceptionId, reason: "expired" };
    applyConfigChange(this.#config, change).ifRight((config) => {
      this.#accept(config, "control", change);
    });
    return true;
  }

  #grantLease(
    { group, holder, incarnation }: GroupLeaseRequest,
    endedEpoch: number | null,
  ): GroupLeaseRecord {
    const current = this.#groups.get(group);
    const isHeld = current !== undefined && current.epoch !== endedEpoch;
    if (isHeld) {
      return current;
    }
    const granted: GroupLeaseRecord = {
      holder,
      incarnation,
      epoch: (current?.epoch ?? 0) + 1,
      mapVersion: current?.mapVersion ?? 0,
      activated: current?.activated ?? [],
      heldFrom: current?.heldFrom ?? 1,
    };
    this.#groups.set(group, granted);
    return granted;
  }

  /** Returns the final decision, or an error message if the request is rejected. */
  #decideMap(request: DecideMapRequest): DecideMapResponse | string {
    const { group, epoch } = request;
    const current = this.#groups.get(group);
    if (current?.epoch !== epoch) {
      return `epoch ${epoch} is not the present epoch ${current?.epoch ?? 0} of group "${group}"`;
    }
    return decideMap(current, request)
      .map(({ record, response }) => {
        this.#groups.set(group, record);
        return response;
      })
      .extract();
  }
}
