/**
 * Token rate of one team's limit that a single entry should carry: a quarter of the mean load of an entry at design
 * scale (3.6 M tokens/s over 350 entries). At 5000, several large teams on one entry load it 3.25 times the mean.
 */
const tokensPerSPerEntry = 2500;

/**
 * Number of entries over which a team's callers spread. It follows the team's limit, which bounds its traffic and
 * is the same at every entry, so that all entries give the same order without measuring. Each further entry
 * learns the team's prompt prefixes by itself and holds a share of its limits, so a small team keeps few.
 */
export function getSpreadCount(teamTokensPerS: number): number {
  return Math.max(1, Math.ceil(teamTokensPerS / tokensPerSPerEntry));
}
