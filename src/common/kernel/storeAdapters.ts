import { Registry } from './Registry.js';
import type { StoreAdapter } from './Types.js';

/** Store adapters by the name that the settings use. */
export const storeAdapters = new Registry<StoreAdapter>('store');
