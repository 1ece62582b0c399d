import { fitLine } from "../fitLine";
import type { Slope } from "./Slope";
import { runEntry } from "./runEntry";

type Points = { x: number; y: number }[];

const targetCounts = [50, 200, 400, 800] as const;
const entryCounts = [50, 100, 200, 350] as const;
const fleetTargetCounts = [1500, 3000, 6000, 12_000] as const;
const designEntryCount = 350;
const measureMs = 4000;

/** Slopes of the entry without requests, in its own process; relay and agents are in this one. */
export async function measureEntry(programs: string): Promise<Slope[]> {
  return [
    ...(await measureAtRest(programs, "target", targetCounts, (count) => [count, 1])),
    ...(await measureAtRest(programs, "entry", entryCounts, (count) => [10, count])),
    ...(await measureAtRest(
      programs,
      "fleetTarget",
      fleetTargetCounts,
      (count) => [count, designEntryCount],
      3,
    )),
  ];
}

/** What an entry uses without requests, by the number of targets or entries that it knows. */
async function measureAtRest(
  programs: string,
  item: string,
  sizes: readonly number[],
  getCounts: (size: number) => readonly [number, number],
  subsetGroups?: number,
): Promise<Slope[]> {
  const cores: Points = [];
  const bytes: Points = [];
  const resident: Points = [];
  for (const x of sizes) {
    const [targetCount, entryCount] = getCounts(x);
    await runEntry({ programs, targetCount, entryCount, subsetGroups }, async (entry) => {
      const use = await entry.measureUse(measureMs);
      cores.push({ x, y: use.coreShare });
      bytes.push({ x, y: use.readBytesPerS + use.writtenBytesPerS });
      resident.push({ x, y: use.residentBytes });
    });
  }
  return [
    toSlope(`entry.restCoreBy_${item}`, `cores/${item} known`, cores),
    toSlope(`entry.restBytesBy_${item}`, `B/s/${item} known, read and written`, bytes),
    toSlope(`entry.restResidentBy_${item}`, `B/${item} known`, resident),
  ];
}

function toSlope(name: string, unit: string, points: Points): Slope {
  return { name, unit, points, ...fitLine(points) };
}
