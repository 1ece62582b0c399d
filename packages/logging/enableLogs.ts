// The logging library reads this when it is loaded, and writes nothing without it.
process.env.ROARR_LOG ??= "true";

export {};
