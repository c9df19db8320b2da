/** Public entry of the daemon package. */
export { Header } from './types/headers';
