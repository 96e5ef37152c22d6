/* eslint max-classes-per-file: "off" -- the error classes belong together */
import { StoreError } from '../base/index.js';

/** The store has discarded the history that a watch asked for. */
export class RevisionCompactedError extends StoreError {}

/** The lease has lapsed or was taken away. */
export class LeaseExpiredError extends StoreError {}
