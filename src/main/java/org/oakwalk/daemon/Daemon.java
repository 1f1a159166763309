package org.oakwalk.daemon;

import org.apache.commons.rng.simple.RandomSource;
import org.eclipse.jetty.io.ArrayByteBufferPool;
import org.eclipse.jetty.io.ByteBufferPool;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.eclipse.jetty.util.thread.ScheduledExecutorScheduler;
import org.oakwalk.adapter.HttpCaller;
import org.oakwalk.adapter.HttpListener;
import org.oakwalk.adapter.OutboundRequests;
import org.oakwalk.core.Controller;
import org.oakwalk.core.Policy;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** A running controller node: the core, its event loop, and its HTTP listener and client. */
public final class Daemon implements AutoCloseable {
  private static final Logger LOG = LoggerFactory.getLogger(Daemon.class);
  private static final int MAX_IO_THREADS = 10;
  private static final int MIN_IO_THREADS = 4;
  private static final int MAX_BUFFER_POOL_BYTES = 6 << 20;

  private final EventLoop loop;
  private final Thread thread;
  private final HttpCaller caller;
  private final HttpListener listener;

  /** Starts the node's threads and its listener. */
  public Daemon(PlatformSettings settings, Policy policy) throws Exception {
    QueuedThreadPool threads = new QueuedThreadPool(MAX_IO_THREADS, MIN_IO_THREADS);
    threads.setReservedThreads(0);
    threads.setName("io");
    threads.setDaemon(true);
    threads.start();
    ScheduledExecutorScheduler scheduler = new ScheduledExecutorScheduler("timer", true);
    scheduler.start();
    ByteBufferPool buffers =
        new ArrayByteBufferPool(0, 2048, 65536, 64, MAX_BUFFER_POOL_BYTES, MAX_BUFFER_POOL_BYTES);
    String incarnation =
        settings.core().node()
            + "-"
            + Long.toHexString(System.currentTimeMillis())
            + Long.toHexString(RandomSource.createLong());
    loop = new EventLoop(new Controller(settings.core(), policy, incarnation));
    caller =
        new HttpCaller(
            threads, scheduler, buffers, settings.socketBudget(), settings.peers().values());
    OutboundRequests outbound =
        new OutboundRequests(
            caller,
            new OutboundRequests.ServiceAddresses(
                settings.stateServiceAddress(), settings.cloudAddress(), settings.peers()),
            settings.core(),
            settings.socketBudget(),
            loop::execute,
            EventLoop.monotonicMillis());
    listener =
        new HttpListener(
            threads,
            scheduler,
            buffers,
            settings.listenAddress(),
            settings.peerListenAddress(),
            settings.socketBudget(),
            loop::offer);
    loop.connect(outbound, listener);
    listener.start();
    thread = new Thread(loop, "core");
    thread.start();
    LOG.info("node {} listens on {}", settings.core().node(), settings.listenAddress());
  }

  /** Returns the port on which the node serves users and workers. */
  public int clientPort() {
    return listener.clientPort();
  }

  /** Waits until the node is stopped. */
  public void awaitTermination() throws InterruptedException {
    thread.join();
  }

  @Override
  public void close() {
    loop.stop();
    listener.close();
    caller.close();
  }
}
