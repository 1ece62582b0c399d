import { readFileSync, readdirSync } from "node:fs";

/** Id of the process that was started with this settings file; 0 for none. */
export function findProcess(settingsFile: string): number {
  const ids = readdirSync("/proc").filter((name) => /^\d+$/.test(name));
  return Number(ids.find((id) => readFile(`/proc/${id}/cmdline`).includes(settingsFile)) ?? 0);
}

/** Peak of resident memory, and anonymous memory at present, in MB; 0 for a process that has ended. */
export function readMemoryMb(id: number): { readonly peak: number; readonly anonymous: number } {
  const status = readFile(`/proc/${id}/status`);
  const read = (name: string): number =>
    Math.round(Number(new RegExp(`${name}:\\s+(\\d+)`).exec(status)?.[1] ?? 0) / 1000);
  return { peak: read("VmHWM"), anonymous: read("RssAnon") };
}

function readFile(path: string): string {
  try {
    return readFileSync(path, "utf8");
  } catch {
    // The process has just ended.
    return "";
  }
}
