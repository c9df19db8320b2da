// Throws outside of any request, and rejects a promise that nobody handles, again and again.
setTimeout(
  () =>
    setInterval(() => {
      Promise.reject(new Error('nobody handles this'));
      throw new Error('nobody expects this');
    }, 100).unref(),
  4000,
).unref();
