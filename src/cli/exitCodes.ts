/** Exit codes of `limpettrack`; `docs/operators/commands.md` lists them. */
export const exitCodes = {
  /** Done, or there was nothing to do. */
  done: 0,
  /** Unexpected error in the program. */
  internalError: 1,
  /** A concurrent change touched the same documents; this change was not applied. */
  conflict: 2,
  /** It is not known yet whether the change was applied. */
  unknown: 3,
  /** The named document, target, state, revision or fingerprint does not exist. */
  notFound: 4,
  /** `preset check` has warnings. */
  warnings: 5,
  /** The command line is invalid; nothing was done. */
  usage: 64,
  /** The change is not valid; it was not applied. */
  invalid: 65,
  /** The store or the daemon cannot be reached; a change was not applied. */
  unreachable: 69,
  /** A settings or configuration file cannot be read or is invalid. */
  badFile: 78,
} as const;

/** One of the exit codes. */
export type ExitCode = (typeof exitCodes)[keyof typeof exitCodes];
