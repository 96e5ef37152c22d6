/** Exit codes of `limpettrack`; `docs/operators/commands.md` lists them. */
export const exitCodes = {
  /** Done, or there was nothing to do. */
  done: 0,
  /** Fault of the program. */
  fault: 1,
  /** Someone else changed the same thing; this change is not in. */
  conflict: 2,
  /** It cannot be known yet whether the change is in. */
  unknown: 3,
  /** The named thing does not exist. */
  notFound: 4,
  /** `preset check` has warnings. */
  warnings: 5,
  /** The command line is wrong; nothing was done. */
  usage: 64,
  /** The change is not valid; it is not in. */
  invalid: 65,
  /** The store or the daemon cannot be reached; a change is not in. */
  unreachable: 69,
  /** A file of settings or configuration is wrong. */
  badFile: 78,
} as const;

/** One of the exit codes. */
export type ExitCode = (typeof exitCodes)[keyof typeof exitCodes];
