/** Where a process listens. */
export interface Address {
  readonly host: string;
  readonly port: number;
}
