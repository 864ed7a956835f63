#ifndef COMFREYPADDLE_TASK_H_
#define COMFREYPADDLE_TASK_H_

#include <ace/Task.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <deque>
#include <mutex>
#include <utility>

#include "loop.h"

namespace comfreypaddle {

// Sending end of a task's mailbox. Tests replace it with a mock.
template <typename Message>
class Port {
 public:
  virtual ~Port() = default;

  // Enqueues the message without blocking. Messages from one sender are
  // delivered in the order in which they were posted.
  virtual void Post(Message message) = 0;
};

// Thread-safe message queue with an event descriptor that is readable while
// the queue is not empty.
template <typename Message>
class Mailbox : public Port<Message> {
 public:
  Mailbox() : m_descriptor(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)) {}
  ~Mailbox() override { ::close(m_descriptor); }
  Mailbox(const Mailbox&) = delete;
  Mailbox& operator=(const Mailbox&) = delete;

  void Post(Message message) override {
    const std::lock_guard<std::mutex> guard(m_mutex);
    m_messages.push_back(std::move(message));
    if (m_messages.size() == 1) eventfd_write(m_descriptor, 1);
  }

  // Removes and returns all queued messages and clears the descriptor.
  std::deque<Message> TakeAll() {
    const std::lock_guard<std::mutex> guard(m_mutex);
    eventfd_t count = 0;
    eventfd_read(m_descriptor, &count);
    return std::exchange(m_messages, {});
  }

  int Descriptor() const { return m_descriptor; }

 private:
  int m_descriptor;
  std::mutex m_mutex;
  std::deque<Message> m_messages;
};

// Base class of tasks: a thread with an event loop and a mailbox. A task's
// state and sockets are created in Start, used and destroyed in its thread.
template <typename Message>
class Task : public ACE_Task_Base {
 public:
  // Starts the thread. May be called only once.
  void Launch() { activate(THR_NEW_LWP | THR_JOINABLE, 1); }

  // Blocks until the thread has exited.
  void Join() { wait(); }

  Port<Message>& Inbox() { return m_mailbox; }

 protected:
  // Opens sockets and starts timers, in the task's thread.
  virtual void Start() = 0;

  // Handles one message, in the task's thread.
  virtual void Receive(Message message) = 0;

  // Closes sockets, in the task's thread, after the loop has stopped.
  virtual void Finish() = 0;

  EventLoop& Loop() { return m_loop; }

 private:
  int svc() override {
    m_loop.TakeOwnership();
    m_loop.Watch(m_mailbox.Descriptor(), [this] {
      for (Message& message : m_mailbox.TakeAll()) Receive(std::move(message));
    });
    Start();
    m_loop.Run();
    Finish();
    return 0;
  }

  Mailbox<Message> m_mailbox;
  EventLoop m_loop;
};

}  // namespace comfreypaddle

#endif  // COMFREYPADDLE_TASK_H_
