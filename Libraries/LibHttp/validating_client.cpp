#include "LibHttp/validating_client.h"

namespace azurehaven {

namespace {

/// Passes on the bytes of a connection as long as they are a sound response.
class validating_stream : public httplib::Stream {
public:
  validating_stream(httplib::Stream &Source, response_parser &Parser)
      : Source(Source), Parser(Parser) {}

  bool is_readable() const override { return Source.is_readable(); }
  bool is_writable() const override { return Source.is_writable(); }
  ssize_t read(char *Target, std::size_t Size) override {
    const ssize_t Count = Source.read(Target, Size);
    if (Count <= 0)
      return Count;
    const auto Read = static_cast<std::size_t>(Count);
    const bool IsWhole = Parser.consume({Target, Read}) == Read;
    // Only where the body ends is of interest.
    Parser.takeBody();
    return IsWhole && !Parser.isMalformed() ? Count : -1;
  }
  ssize_t write(const char *Bytes, std::size_t Size) override {
    return Source.write(Bytes, Size);
  }
  void get_remote_ip_and_port(std::string &Address, int &Port) const override {
    Source.get_remote_ip_and_port(Address, Port);
  }
  void get_local_ip_and_port(std::string &Address, int &Port) const override {
    Source.get_local_ip_and_port(Address, Port);
  }
  socket_t socket() const override { return Source.socket(); }

private:
  httplib::Stream &Source;
  response_parser &Parser;
};

} // namespace

bool validating_client::sendRequest(httplib::Request &Request,
                                    httplib::Response &Response,
                                    httplib::Error &Error) {
  Parser.reset();
  if (Request.method == "HEAD")
    Parser.expectResponseToHead();
  HasRejectedResponse = false;
  return send(Request, Response, Error);
}

bool validating_client::process_socket(
    const Socket &Socket,
    std::function<bool(httplib::Stream &Stream)> Callback) {
  return httplib::detail::process_client_socket(
      Socket.sock, read_timeout_sec_, read_timeout_usec_, write_timeout_sec_,
      write_timeout_usec_, [&](httplib::Stream &Source) {
        validating_stream Stream(Source, Parser);
        const bool IsOk = Callback(Stream);
        HasRejectedResponse =
            Parser.isMalformed() || (IsOk && !Parser.isComplete());
        return IsOk && !HasRejectedResponse;
      });
}

} // namespace azurehaven
