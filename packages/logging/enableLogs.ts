// The logging library reads this when it is loaded, and stays silent without it.
process.env.ROARR_LOG ??= "true";

export {};
