import { hashString } from "@clementinemux/common/hashString";
import { TargetKind } from "@clementinemux/common/TargetKind";
import type { TargetAnnouncement } from "@clementinemux/common/TargetAnnouncement";
import type { Directory } from "./Directory";
import type { DirectoryRecord } from "./DirectoryRecord";
import type { FetchTargetsRequest } from "./FetchTargetsRequest";
import type { FetchTargetsResponse } from "./FetchTargetsResponse";
import { RecordKind } from "./RecordKind";
import { assignSubset } from "./assignSubset";

interface SubsetPlan {
  readonly version: number;
  readonly unitsByEntry: ReadonlyMap<string, ReadonlySet<string>>;
}

// An answer must fit in a frame: 1,000 targets of about 300 B in CBOR are a third of the limit.
const defaultLimit = 1000;
const maxLimit = 2000;

/** Answers `fetchTargets` from a directory. Without I/O. */
export class TargetQuery {
  readonly #directory: Directory;
  /** Assignments by group count; made again when the directory has changed. */
  readonly #plans = new Map<number, SubsetPlan>();

  constructor(directory: Directory) {
    this.#directory = directory;
  }

  /** Answers with what changed since the asker's version, or with a first part of the whole list. */
  fetch(request: FetchTargetsRequest): FetchTargetsResponse {
    const directory = this.#directory;
    const units = this.#getUnits(request);
    const subset = units === null ? "" : String(hashString([...units].sort().join("|")));
    const since = request.since ?? null;
    const isDelta =
      since?.directory === directory.origin &&
      since.subset === subset &&
      since.version >= directory.oldestVersion &&
      since.version <= directory.version;
    const changed = directory.changedSince(isDelta ? since.version : 0, RecordKind.Target);
    const matching = changed.filter(({ record }) => matches(record, request, units, isDelta));
    const part = matching.slice(0, Math.min(request.limit ?? defaultLimit, maxLimit));
    const more = part.length < matching.length;
    const records = part.map(({ record }) => record);
    return {
      directory: directory.origin,
      version: more ? (part.at(-1)?.version ?? 0) : directory.version,
      subset,
      full: !isDelta,
      targets: records.flatMap(({ announcement }) =>
        announcement === null ? [] : [announcement as TargetAnnouncement],
      ),
      weights: Object.fromEntries(
        records.filter(({ weight }) => weight < 1).map(({ name, weight }) => [name, weight]),
      ),
      removed: records.flatMap(({ announcement, name }) => (announcement === null ? [name] : [])),
      more,
    };
  }

  #getUnits(request: FetchTargetsRequest): ReadonlySet<string> | null {
    const { subset } = request;
    if (subset === undefined) {
      return null;
    }
    let plan = this.#plans.get(subset.groupCount);
    if (plan?.version !== this.#directory.version) {
      plan = { version: this.#directory.version, unitsByEntry: this.#assign(subset.groupCount) };
      this.#plans.clear();
      this.#plans.set(subset.groupCount, plan);
    }
    // An entry that has not announced itself yet gets everything; its list is replaced once it has.
    return plan.unitsByEntry.get(subset.entry) ?? null;
  }

  #assign(groupCount: number): Map<string, ReadonlySet<string>> {
    const entries = this.#directory.entries().map(({ entry }) => entry);
    const unitsByModel = new Map<string, Map<string, string>>();
    for (const announcement of this.#directory.targets()) {
      for (const model of getServed(announcement)) {
        const units = unitsByModel.get(model) ?? new Map<string, string>();
        unitsByModel.set(model, units.set(getUnit(announcement), announcement.failureDomain));
      }
    }
    const merged = new Map<string, Set<string>>(entries.map((entry) => [entry, new Set<string>()]));
    for (const units of unitsByModel.values()) {
      const list = [...units].map(([name, failureDomain]) => ({ name, failureDomain }));
      for (const [entry, names] of assignSubset(entries, list, groupCount)) {
        for (const name of names) {
          merged.get(entry)?.add(name);
        }
      }
    }
    return merged;
  }
}

function matches(
  record: DirectoryRecord,
  { models }: FetchTargetsRequest,
  units: ReadonlySet<string> | null,
  isDelta: boolean,
): boolean {
  if (record.announcement === null) {
    return isDelta;
  }
  const announcement = record.announcement as TargetAnnouncement;
  if (units !== null && !units.has(getUnit(announcement))) {
    return false;
  }
  return (
    models === undefined ||
    announcement.kind === TargetKind.Service ||
    announcement.models.some((model) => models.includes(model))
  );
}

/** What a subset must cover: each model, and each service. */
function getServed({ kind, models, service }: TargetAnnouncement): readonly string[] {
  return kind === TargetKind.Service ? [`service ${service}`] : models;
}

function getUnit({ group, target }: TargetAnnouncement): string {
  return group === "" ? target : group;
}
