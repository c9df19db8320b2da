/**
 * Connections to the other entries, one per address.
 */
import * as links from '@azureworks/links';

/** Opens connections on first use. */
export class PeerClients {
  private readonly clients = new Map<string, links.PeerClient>();

  private constructor(private readonly credentials: links.CredentialSource) {}

  static create(credentials: links.CredentialSource): PeerClients {
    return new PeerClients(credentials);
  }

  /** Returns the connection to an entry. */
  open(peer: links.Member): links.PeerClient {
    const address = `${peer.address}:${peer.controlPort}`;
    const existing = this.clients.get(address);
    if (existing) return existing;
    const client = links.PeerClient.create(address, this.credentials);
    this.clients.set(address, client);
    return client;
  }

  closeAll(): void {
    this.clients.forEach((client) => client.close());
    this.clients.clear();
  }
}
