/**
 * Organisations: who sends requests with a key. The deployment's configuration names them.
 */

/** An organisation. */
export interface Organisation {
  readonly name: string;
  /** Takes precedence over the priority of a route; undefined when it has none. */
  readonly priority: number | undefined;
}

/** An organisation and its keys, as the configuration names them. */
export interface OrganisationKeys extends Organisation {
  readonly keys: readonly string[];
}

/** The keys of one configuration; they are looked up by their digests. */
export interface Keys {
  /** The organisation that holds a key; undefined when none does. */
  find(digest: string): Organisation | undefined;
  /** The organisation with a name; undefined when there is none. */
  findByName(name: string): Organisation | undefined;
}

/** That a request may run for an organisation, as long as it is valid. */
export interface Authorisation {
  readonly organisation: Organisation;
  /** Whether the key is in force now, by a configuration that was confirmed lately enough. */
  isValid(): boolean;
}

/**
 * The organisation of a request to a replica, which is told its name: undefined where the deployment has
 * no organisations, null where the request belongs to none.
 */
export type RequestOrganisation = string | null | undefined;
