import { brandAs } from '../base/index.js';
import type { PresetName } from '../base/index.js';
import type { ConfigurationContent } from './Types.js';

/** Configuration of a fleet before the first change. */
export const emptyContent: ConfigurationContent = {
  preset: brandAs<PresetName>(''),
  services: [],
  routes: [],
  accounts: [],
  presets: [],
  pauses: [],
  holds: [],
};
