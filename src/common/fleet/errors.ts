/* eslint max-classes-per-file: "off" -- the error classes belong together */
import { StoreError } from '../base/index.js';

/** The store has compacted the revision that a watch requested. */
export class RevisionCompactedError extends StoreError {}

/** The lease has expired or was revoked. */
export class LeaseExpiredError extends StoreError {}
