/** The only process that may dispatch or cancel a claim. */
export interface Claimant {
  readonly entry: string;
  readonly incarnation: string;
}
