import { createRandom } from "@clementinemux/common/createRandom";
import { hashString } from "@clementinemux/common/hashString";
import type { EntryAnnouncement } from "@clementinemux/messages/EntryAnnouncement";

/**
 * Orders the entry addresses for a caller. The first is one of the `spreadCount` entries with the team's
 * highest rendezvous hashes, and it is stable for the caller. The others are shuffled per caller, so that the
 * callers of a failed entry spread over all others. They alternate between failure domains, so that the
 * second choice does not fail together with the first. Entries of other regions come last, and leaving
 * entries are omitted.
 */
export function orderAddresses(
  entries: readonly EntryAnnouncement[],
  team: string,
  caller: string,
  region: string,
  spreadCount = 1,
): string[] {
  const present = entries.filter(({ leaving }) => !leaving);
  const near = present.filter((entry) => entry.region === region);
  const choices = chooseForTeam(near.length > 0 ? near : present, team, spreadCount);
  const first = chooseForTeam(choices, `${team}|${caller}`, 1)[0] ?? null;
  if (first === null) {
    return [];
  }
  const random = createRandom(hashString(`${team}|${caller}`));
  const others = shuffle(
    present.filter(({ entry }) => entry !== first.entry),
    random,
  );
  const ordered = [
    ...alternateDomains(
      others.filter((entry) => entry.region === first.region),
      first.failureDomain,
    ),
    ...alternateDomains(
      others.filter((entry) => entry.region !== first.region),
      "",
    ),
  ];
  return [first, ...ordered].map(({ url }) => url);
}

/** Returns the entries with the highest rendezvous hashes of the key. */
function chooseForTeam(
  entries: readonly EntryAnnouncement[],
  key: string,
  count: number,
): EntryAnnouncement[] {
  return entries
    .map((entry) => ({ entry, score: hashString(`${key}|${entry.entry}`) }))
    .sort((left, right) => right.score - left.score)
    .slice(0, count)
    .map(({ entry }) => entry);
}

function shuffle(entries: readonly EntryAnnouncement[], random: () => number): EntryAnnouncement[] {
  return entries
    .map((entry) => ({ entry, key: random() }))
    .sort((left, right) => left.key - right.key)
    .map(({ entry }) => entry);
}

/** Interleaves the entries of the failure domains. `lastDomain` comes last in each round. */
function alternateDomains(entries: readonly EntryAnnouncement[], lastDomain: string): EntryAnnouncement[] {
  const domains = new Map<string, EntryAnnouncement[]>();
  for (const entry of entries) {
    domains.set(entry.failureDomain, [...(domains.get(entry.failureDomain) ?? []), entry]);
  }
  const queues = [...domains].sort(
    ([left], [right]) => Number(left === lastDomain) - Number(right === lastDomain),
  );
  const ordered: EntryAnnouncement[] = [];
  while (ordered.length < entries.length) {
    for (const [, queue] of queues) {
      const next = queue.shift();
      if (next !== undefined) {
        ordered.push(next);
      }
    }
  }
  return ordered;
}
