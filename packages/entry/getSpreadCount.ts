/**
 * Part of one team's token rate limit that a single entry should carry. It is a quarter of an entry's mean
 * load at design scale (3.6 M tokens/s over 350 entries). At 5000, an entry shared by several large teams has
 * 3.25 times the mean load.
 */
const tokensPerSPerEntry = 2500;

/**
 * Number of entries over which a team's callers are spread. It is derived from the team's limit, which bounds
 * its traffic and is the same at every entry, so all entries compute the same order without measuring load.
 * Every additional entry must learn the team's prompt prefixes separately and holds a share of its limits, so
 * a small team uses few entries.
 */
export function getSpreadCount(teamTokensPerS: number): number {
  return Math.max(1, Math.ceil(teamTokensPerS / tokensPerSPerEntry));
}
