import { hashString } from "@clementinemux/common/hashString";
import { TargetKind } from "@clementinemux/common/TargetKind";
import type { TargetAnnouncement } from "@clementinemux/common/TargetAnnouncement";
import type { EntryAnnouncement } from "@clementinemux/messages/EntryAnnouncement";
import type { Directory } from "./Directory";
import type { DirectoryRecord } from "./DirectoryRecord";
import type { FetchEntriesRequest } from "./FetchEntriesRequest";
import type { FetchEntriesResponse } from "./FetchEntriesResponse";
import type { FetchTargetsRequest } from "./FetchTargetsRequest";
import type { FetchTargetsResponse } from "./FetchTargetsResponse";
import { RecordKind } from "./RecordKind";
import { assignSubset } from "./assignSubset";

/** Failure domain of each unit (a group or a single target), by model and unit name. */
type UnitsByModel = Map<string, Map<string, string>>;

interface SubsetPlan {
  /** Directory version at which the inputs were last compared. */
  version: number;
  /** Entries and units from which the assignment was computed. */
  readonly inputs: string;
  targetCount: number;
  readonly unitsByEntry: ReadonlyMap<string, ReadonlySet<string>>;
}

// A response must fit in a frame: 1,000 targets of about 300 B in CBOR take a third of the limit.
const defaultLimit = 1000;
const maxLimit = 2000;

/** Handles `fetchTargets` and `fetchEntries` requests from a directory. Performs no I/O. */
export class DirectoryQuery {
  readonly #directory: Directory;
  /** Assignments by group count; updated when the directory has changed. */
  readonly #plans = new Map<number, SubsetPlan>();

  constructor(directory: Directory) {
    this.#directory = directory;
  }

  /** Returns the changes since the client's version, or the first part of the full list. */
  fetchTargets(request: FetchTargetsRequest): FetchTargetsResponse {
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
    const matching = changed.filter(({ record }) => isIncluded(record, request, units, isDelta));
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

  /** Returns the entries changed since the client's version, or all of them. */
  fetchEntries({ since = null }: FetchEntriesRequest): FetchEntriesResponse {
    const directory = this.#directory;
    const isDelta =
      since?.directory === directory.origin &&
      since.version >= directory.oldestVersion &&
      since.version <= directory.version;
    const records = directory
      .changedSince(isDelta ? since.version : 0, RecordKind.Entry)
      .map(({ record }) => record);
    return {
      directory: directory.origin,
      version: directory.version,
      full: !isDelta,
      entries: records.flatMap(({ announcement }) =>
        announcement === null ? [] : [announcement as EntryAnnouncement],
      ),
      removed: records.flatMap(({ announcement, name }) => (announcement === null ? [name] : [])),
    };
  }

  #getUnits(request: FetchTargetsRequest): ReadonlySet<string> | null {
    const { subset } = request;
    if (subset === undefined) {
      return null;
    }
    const plan = this.#getPlan(subset.groupCount);
    if (plan.targetCount <= (subset.allUpTo ?? 0)) {
      return null;
    }
    // An entry that has not announced itself yet gets all targets; its list is replaced once it has.
    return plan.unitsByEntry.get(subset.entry) ?? null;
  }

  /** Most changes, such as restarts, do not affect the entries and units; the assignment is then reused. */
  #getPlan(groupCount: number): SubsetPlan {
    const { version } = this.#directory;
    const cached = this.#plans.get(groupCount);
    if (cached?.version === version) {
      return cached;
    }
    const entries = this.#directory.entries().map(({ entry }) => entry);
    const targets = this.#directory.targets();
    const unitsByModel = collectUnits(targets);
    const inputs = describeInputs(entries, unitsByModel);
    if (cached?.inputs === inputs) {
      cached.version = version;
      cached.targetCount = targets.length;
      return cached;
    }
    const unitsByEntry = assignByModel(entries, unitsByModel, groupCount);
    const plan = { version, inputs, targetCount: targets.length, unitsByEntry };
    this.#plans.clear();
    this.#plans.set(groupCount, plan);
    return plan;
  }
}

/** Units of each model or service, with the failure domain of one of their targets. */
function collectUnits(targets: readonly TargetAnnouncement[]): UnitsByModel {
  const unitsByModel: UnitsByModel = new Map();
  for (const announcement of targets) {
    for (const model of getModelsOrService(announcement)) {
      const units = unitsByModel.get(model) ?? new Map<string, string>();
      const unit = getUnit(announcement);
      const known = units.get(unit);
      // Uses the smallest name, so that the order of announcements does not matter.
      if (known === undefined || announcement.failureDomain < known) {
        units.set(unit, announcement.failureDomain);
      }
      unitsByModel.set(model, units);
    }
  }
  return unitsByModel;
}

function describeInputs(entries: readonly string[], unitsByModel: UnitsByModel): string {
  const models = [...unitsByModel].map(([model, units]) => [model, [...units].sort(compareByKey)] as const);
  return JSON.stringify([[...entries].sort(), models.sort(compareByKey)]);
}

function compareByKey([left]: readonly [string, unknown], [right]: readonly [string, unknown]): number {
  return left < right ? -1 : 1;
}

function assignByModel(
  entries: readonly string[],
  unitsByModel: UnitsByModel,
  groupCount: number,
): Map<string, ReadonlySet<string>> {
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

function isIncluded(
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

/** Names that a subset must cover: the models of an engine, or the service. */
function getModelsOrService({ kind, models, service }: TargetAnnouncement): readonly string[] {
  return kind === TargetKind.Service ? [`service ${service}`] : models;
}

function getUnit({ group, target }: TargetAnnouncement): string {
  return group === "" ? target : group;
}
