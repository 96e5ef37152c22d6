import { FleetError } from '../base/index.js';

/** Another process has taken over the key range; this one must start nothing more in it. */
export class FencedError extends FleetError {}
