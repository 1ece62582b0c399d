/** Importance of a request, as set by the defaults and the exceptions of the configuration. */
export enum RequestClass {
  Important = "important",
  Standard = "standard",
  Bulk = "bulk",
}
