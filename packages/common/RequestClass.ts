/** Importance of a request, from the defaults and the listed exceptions. */
export enum RequestClass {
  Important = "important",
  Standard = "standard",
  Bulk = "bulk",
}
