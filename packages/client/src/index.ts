/**
 * Public API of the client package.
 */
export { ExitCode } from './types/exit-code';
export { EntryClient, type EntryResponse, type RequestFailure } from './core/entry-client';
export { type FolderBase, type FolderChange, compareFolder, readFolder } from './core/folder';
