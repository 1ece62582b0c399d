import { randomBytes } from "node:crypto";
import { createLookupConfig } from "./createLookupConfig";

/** Teams of the letter's target. */
const teams = 4100;
const keyBytes = 15;
/** Keys of each team; with the latter, the configuration has 2.1 MB. */
export const fewKeys = 2;
export const manyKeys = 20;

/** A valid configuration of one application with as many teams as in the letter's target, each with this many keys. */
export function createLargeConfig(version: number, keysPerTeam: number): object {
  const tenants = Array.from({ length: teams }, (_, at) => ({
    name: `team-${at}`,
    api_keys: Array.from({ length: keysPerTeam }, createKey),
    priority: 1,
  }));
  tenants.push({ name: "team-a", api_keys: ["key-a"], priority: 1 });
  return createLookupConfig(version, { tenants });
}

function createKey(): string {
  return randomBytes(keyBytes).toString("base64url").toLowerCase();
}
